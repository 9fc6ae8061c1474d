#include <stdlib.h>
#include <string.h>

#include "support-kv.h"
#include "support-unit.h"

#define SECOND_US 1000000u

/* A create-only write must fail on an existing key and succeed on others. */
static void test_cas(void)
{
	uint64_t zero = 0, index;
	struct kv_table kv;

	kv_init(&kv);
	CU_ASSERT_EQUAL(kv_put(&kv, "log/1", "a", 1, &zero), KV_APPLIED);
	CU_ASSERT_EQUAL(kv_put(&kv, "log/1", "b", 1, &zero), KV_NOT_APPLIED);
	CU_ASSERT_STRING_EQUAL(kv_find(&kv, "log/1")->value, "a");
	index = kv_find(&kv, "log/1")->modify_index;
	CU_ASSERT_EQUAL(kv_put(&kv, "log/1", "c", 1, &index), KV_APPLIED);
	CU_ASSERT_EQUAL(kv_put(&kv, "log/1", "d", 1, &index), KV_NOT_APPLIED);
	CU_ASSERT_EQUAL(kv_delete(&kv, "log/1", &index, false, 0),
			KV_NOT_APPLIED);
	CU_ASSERT_EQUAL(kv_delete(&kv, "log/1", NULL, false, 0), KV_APPLIED);
	CU_ASSERT_PTR_NULL(kv_find(&kv, "log/1"));
	CU_ASSERT_EQUAL(kv_put(&kv, "log/1", "e", 1, &index), KV_NOT_APPLIED);
	CU_ASSERT_EQUAL(kv_put(&kv, "log/1", "e", 1, &zero), KV_APPLIED);
	kv_free(&kv);
}

/* A prefix index must change on a deletion, but not for other prefixes. */
static void test_prefix_index(void)
{
	struct kv_table kv;
	uint64_t before;

	kv_init(&kv);
	CU_ASSERT_EQUAL(kv_index_of(&kv, "m/", true), 0);
	kv_put(&kv, "m/a", "1", 1, NULL);
	kv_put(&kv, "m/b", "2", 1, NULL);
	before = kv_index_of(&kv, "m/", true);
	kv_put(&kv, "m", "3", 1, NULL);
	kv_put(&kv, "n/a", "3", 1, NULL);
	kv_put(&kv, "m0", "3", 1, NULL);
	CU_ASSERT_EQUAL(kv_index_of(&kv, "m/", true), before);
	kv_delete(&kv, "m/a", NULL, false, 0);
	CU_ASSERT(kv_index_of(&kv, "m/", true) > before);
	before = kv_index_of(&kv, "m/", true);
	kv_delete(&kv, "m/", NULL, true, 0);
	CU_ASSERT(kv_index_of(&kv, "m/", true) > before);
	CU_ASSERT_PTR_NULL(kv_find(&kv, "m/b"));
	CU_ASSERT_PTR_NOT_NULL(kv_find(&kv, "m0"));
	kv_free(&kv);
}

/* A session and its keys must end at the TTL, neither earlier nor later. */
static void test_session(void)
{
	char one[KV_SESSION_BYTES], two[KV_SESSION_BYTES];
	struct kv_table kv;

	kv_init(&kv);
	kv_session_create(&kv, 3 * SECOND_US, 0, one);
	kv_session_create(&kv, 30 * SECOND_US, 0, two);
	CU_ASSERT_EQUAL(kv_acquire(&kv, "owner", "x", 1, one), KV_APPLIED);
	CU_ASSERT_EQUAL(kv_acquire(&kv, "owner", "y", 1, two), KV_NOT_APPLIED);
	CU_ASSERT_EQUAL(kv_acquire(&kv, "owner", "y", 1, "no"),
			KV_INVALID_SESSION);
	CU_ASSERT_EQUAL(kv_session_renew(&kv, one, 2 * SECOND_US), 0);
	CU_ASSERT_EQUAL(kv_expire(&kv, 5 * SECOND_US - 1, NULL, NULL), 0);
	CU_ASSERT_PTR_NOT_NULL(kv_find(&kv, "owner"));
	CU_ASSERT_EQUAL(kv_expire(&kv, 5 * SECOND_US, NULL, NULL), 1);
	CU_ASSERT_PTR_NULL(kv_find(&kv, "owner"));
	CU_ASSERT_EQUAL(kv_session_renew(&kv, one, 5 * SECOND_US), -1);
	CU_ASSERT_EQUAL(kv_acquire(&kv, "owner", "y", 1, one),
			KV_INVALID_SESSION);
	CU_ASSERT_EQUAL(kv_acquire(&kv, "owner", "y", 1, two), KV_APPLIED);
	kv_free(&kv);
}

/* A release must not unlock a key held by another session. */
static void test_release(void)
{
	char one[KV_SESSION_BYTES], two[KV_SESSION_BYTES];
	struct kv_table kv;

	kv_init(&kv);
	kv_session_create(&kv, SECOND_US, 0, one);
	kv_session_create(&kv, SECOND_US, 0, two);
	kv_acquire(&kv, "owner", "x", 1, one);
	CU_ASSERT_EQUAL(kv_release(&kv, "owner", "", 0, two), KV_NOT_APPLIED);
	CU_ASSERT_EQUAL(kv_release(&kv, "owner", "", 0, one), KV_APPLIED);
	CU_ASSERT_EQUAL(kv_acquire(&kv, "owner", "y", 1, two), KV_APPLIED);
	kv_session_destroy(&kv, one, 0);
	CU_ASSERT_PTR_NOT_NULL(kv_find(&kv, "owner"));
	kv_session_destroy(&kv, two, 0);
	CU_ASSERT_PTR_NULL(kv_find(&kv, "owner"));
	kv_free(&kv);
}

static const struct unit_test tests[] = {
	{ "compare-and-swap", test_cas },
	{ "index of a prefix", test_prefix_index },
	{ "sessions end on time", test_session },
	{ "release by the holder only", test_release },
};

int main(void)
{
	return RUN_SUITE("fake-store", tests);
}
