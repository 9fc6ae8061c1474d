#include <stdio.h>
#include <string.h>

#include "counter.h"
#include "support-unit.h"

/*
 * Guards against entries of one name that are not adjacent in the exposition,
 * which parsers of the Prometheus text format reject.
 */
static void test_entries_of_one_name_are_grouped(void)
{
	struct buffer b = BUFFER_INIT;
	struct counter *a = counter_get(COUNTER, "waxwing_a_total", "x=\"1\"");
	struct counter *other = counter_get(GAUGE, "waxwing_b", NULL);

	counter_add(a, 2);
	counter_set(other, 7);
	counter_add(counter_get(COUNTER, "waxwing_a_total", "x=\"2\""), 3);
	counter_expose(&b);
	CU_ASSERT_PTR_NOT_NULL(strstr(b.data, "# TYPE waxwing_a_total counter\n"
					      "waxwing_a_total{x=\"1\"} 2\n"
					      "waxwing_a_total{x=\"2\"} 3\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(b.data, "# TYPE waxwing_b gauge\nwaxwing_b 7\n"));
	buffer_free(&b);
}

/* Guards against two counters with the same name and labels. */
static void test_same_name_same_counter(void)
{
	CU_ASSERT_PTR_EQUAL(counter_get(COUNTER, "waxwing_c_total", NULL),
			    counter_get(COUNTER, "waxwing_c_total", ""));
}

/* Guards against a crash when an unbounded label set fills the table. */
static void test_full_table_overflows_into_one(void)
{
	struct counter *last = NULL;

	for (int i = 0; i < COUNTERS_MAX + 8; i++) {
		char label[32];

		snprintf(label, sizeof(label), "n=\"%d\"", i);
		last = counter_get(COUNTER, "waxwing_many_total", label);
	}
	CU_ASSERT_PTR_EQUAL(last,
			    counter_get(COUNTER, "waxwing_new_total", NULL));
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "entries of one name are grouped",
		  test_entries_of_one_name_are_grouped },
		{ "same name, same counter", test_same_name_same_counter },
		{ "full table overflows into one",
		  test_full_table_overflows_into_one },
	};

	return RUN_SUITE("counter", tests);
}
