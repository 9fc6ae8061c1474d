#ifndef STANDIN_3_H
#define STANDIN_3_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "support-jobs-internal.h"

/*
 * NAME
 *	standin-3 - a small deployment for the scripts of the third review
 *
 * DESCRIPTION
 *	Starts target/waxwingd as the deploy file does, with settings as the
 *	template renders them, beside the project's simulated platform
 *	(support-jobs-platform.h) and clients. All addresses are on loopback.
 *	Everything that was sent, answered and run goes to the record.
 */

#define CASE_ENTRIES_MAX 3
#define CASE_QUEUE_HOST "127.0.0.1"

enum case_result { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

struct case_run {
	struct event_base *base;
	struct jobs_platform *platform;
	FILE *record;
	char folder[64];
	uint16_t port;			 /* first of the range */
	pid_t entries[CASE_ENTRIES_MAX]; /* 0: not running */
	uint32_t entry_count;
	uint32_t evacuation_ms; /* set before the start; 0: none */
	uint64_t start_us;
	uint32_t workers;
	bool trouble;
	bool own_entries; /* the case writes those of the workers */
	/* The last response. */
	int status; /* 0: none yet, -1: none arrived */
	char body[512];
};

/* Opens the record and starts the platform; config is the value of op/config.
 */
int case_open(struct case_run *r, const char *record, const char *config);
/* Adds workers; each runs a task for task_ms. */
void case_add_workers(struct case_run *r, uint32_t count, uint32_t task_ms);
/* A worker that has left or crashed. */
void case_restart_worker(struct case_run *r, uint32_t worker);
void case_start_entry(struct case_run *r, uint32_t i);
/* Starts all entry VMs and waits until all are ready. */
int case_start(struct case_run *r, uint32_t entries);
/* Ends all processes and removes the folder. */
void case_close(struct case_run *r);

uint64_t case_ms(const struct case_run *r);
void case_log(struct case_run *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Runs the event loop. */
void case_run_loop(struct case_run *r, uint32_t ms);
/* A client's request; returns the status, or -1. */
int case_request(struct case_run *r, uint32_t entry, const char *method,
		 const char *path, const char *body);
/* Whether the last response is the job state. */
bool case_body_has(const struct case_run *r, const char *text);
uint16_t case_worker_port(const struct case_run *r, uint32_t worker);
/* Peak memory of a process in KB; 0: it does not run. */
uint64_t case_peak_kb(pid_t pid);

/* ---- the cases ---- */
int case_release(struct case_run *r);
int case_memory(struct case_run *r);
int case_kind(struct case_run *r);
int case_deadly(struct case_run *r);
int case_batch(struct case_run *r);

#endif
