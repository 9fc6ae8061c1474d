#include "pair-model.h"
#include "rng.h"
#include "support-unit.h"

#define TARGET_MS 50.0f
#define ALONE_MS 20.0f

static double noise(struct rng *r)
{
	return 0.7 + 0.6 * rng_unit(r);
}

/* Teaches the model a heavy and a light batch image, alone and together. */
static void train(struct pair_model *m, uint32_t service, uint32_t heavy,
		  uint32_t light)
{
	struct rng r = { .state = 20261204 };

	for (int i = 0; i < 60; i++) {
		struct pair_load loads[2] = { { light, 0.1f },
					      { heavy, 0.08f } };
		float slowdown = 1 + 40 * 0.08f;
		float tail = ALONE_MS * (float)noise(&r);

		pair_model_observe(m, service, tail, TARGET_MS, NULL, 0);
		pair_model_observe(m, service, tail, TARGET_MS, loads, 1);
		if (i % 3 == 0)
			pair_model_observe(m, service, tail * slowdown,
					   TARGET_MS, loads, 2);
	}
}

/* Guards against blaming what merely ran beside the cause. */
static void test_separates_co_located_causes(void)
{
	struct pair_model m;
	struct pair_load load = { .cpu_share = 0.1f };
	uint32_t service, heavy, light;

	pair_model_init(&m);
	service = pair_model_image(&m, "forms");
	heavy = pair_model_image(&m, "heavy");
	light = pair_model_image(&m, "light");
	train(&m, service, heavy, light);
	load.image = heavy;
	CU_ASSERT(pair_model_slowdown(&m, service, &load) > 2);
	load.image = light;
	CU_ASSERT(pair_model_slowdown(&m, service, &load) < 0.3);
	CU_ASSERT_DOUBLE_EQUAL(pair_model_baseline(&m, service, TARGET_MS),
			       ALONE_MS, 2);
}

/* A successor begins with what was learnt; a cut record is refused. */
static void test_handover(void)
{
	struct pair_model m, n;
	struct pair_load load = { .cpu_share = 0.1f };
	struct buffer b = BUFFER_INIT;
	uint32_t service;

	pair_model_init(&m);
	service = pair_model_image(&m, "forms");
	train(&m, service, pair_model_image(&m, "heavy"),
	      pair_model_image(&m, "light"));
	pair_model_encode(&m, &b);
	pair_model_init(&n);
	pair_model_image(&n, "other"); /* handles differ */
	CU_ASSERT_EQUAL(pair_model_decode(&n, b.data, b.len), 0);
	service = pair_model_image(&n, "forms");
	load.image = pair_model_image(&n, "heavy");
	CU_ASSERT(pair_model_slowdown(&n, service, &load) > 2);
	load.image = pair_model_image(&n, "light");
	CU_ASSERT(pair_model_slowdown(&n, service, &load) < 0.3);
	for (size_t i = 0; i < b.len; i++) {
		pair_model_init(&n);
		CU_ASSERT_EQUAL(pair_model_decode(&n, b.data, i), -1);
	}
	buffer_free(&b);
}

/* One untried task may run beside a service, several may not. */
static void test_unobserved_pairs(void)
{
	struct pair_model m;
	struct pair_load load = { .cpu_share = 0.08f };
	uint32_t service;

	pair_model_init(&m);
	service = pair_model_image(&m, "forms");
	load.image = pair_model_image(&m, "new");
	CU_ASSERT(pair_model_slowdown(&m, service, &load) < 0.5);
	load.cpu_share *= 4;
	CU_ASSERT(pair_model_slowdown(&m, service, &load) > 0.5);
	CU_ASSERT(pair_model_baseline(&m, service, TARGET_MS) < TARGET_MS);
}

/* More images than the table holds share one entry and break nothing. */
static void test_many_images(void)
{
	struct pair_model m;
	char name[16];

	pair_model_init(&m);
	for (int i = 0; i < 2 * PAIR_IMAGES_MAX; i++) {
		uint32_t image;

		snprintf(name, sizeof(name), "image-%d", i);
		image = pair_model_image(&m, name);
		CU_ASSERT(image < PAIR_IMAGES_MAX);
		CU_ASSERT_EQUAL(image, pair_model_image(&m, name));
	}
	CU_ASSERT_EQUAL(pair_model_image(&m, ""), 0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "tells causes apart", test_separates_co_located_causes },
		{ "handover", test_handover },
		{ "untried pairs", test_unobserved_pairs },
		{ "many images", test_many_images },
	};

	return RUN_SUITE("pair-model", tests);
}
