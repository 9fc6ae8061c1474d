#ifndef SUPPORT_UNIT_H
#define SUPPORT_UNIT_H

#include <CUnit/Basic.h>

/*
 * NAME
 *	support-unit - runs the tests of a CUnit program
 *
 * DESCRIPTION
 *	run_suite() runs a table of tests as one CUnit suite, prints the line
 *	"failed test: NAME" for each that failed, which scripts/run-tests reads,
 *	and returns the exit status for main(): 0 if all tests passed.
 */
struct unit_test {
	const char *name;
	void (*fn)(void);
};

static inline void print_failed_tests(void)
{
	const struct CU_Test *last = NULL;

	for (CU_pFailureRecord f = CU_get_failure_list(); f; f = f->pNext) {
		if (f->pTest && f->pTest != last)
			printf("failed test: %s\n", f->pTest->pName);
		last = f->pTest;
	}
}

static inline int run_suite(const char *name, const struct unit_test *tests,
			    size_t count)
{
	CU_pSuite suite;
	unsigned failures = 1;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	suite = CU_add_suite(name, NULL, NULL);
	for (size_t i = 0; suite && i < count; i++)
		CU_add_test(suite, tests[i].name, tests[i].fn);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	if (CU_basic_run_tests() == CUE_SUCCESS)
		failures = CU_get_number_of_failures();
	print_failed_tests();
	CU_cleanup_registry();
	return failures != 0;
}

#define RUN_SUITE(name, tests) \
	run_suite(name, tests, sizeof(tests) / sizeof((tests)[0]))

#endif
