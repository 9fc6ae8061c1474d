#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "buffer.h"
#include "io-pool.h"
#include "log.h"

struct job {
	io_work_fn *work;
	void *arg;
};

struct io_pool {
	char name[16];
	pthread_mutex_t lock;
	pthread_cond_t ready;
	struct job *jobs; /* ring buffer of queue_limit entries */
	uint32_t queue_limit;
	uint32_t head;
	uint32_t count;
	bool stopping;
	pthread_t *threads;
	uint32_t thread_count;
};

/* Thread function: runs jobs until the pool stops and the queue is empty. */
static void *run_jobs(void *arg)
{
	struct io_pool *p = arg;

	pthread_mutex_lock(&p->lock);
	for (;;) {
		struct job job;

		while (!p->count && !p->stopping)
			pthread_cond_wait(&p->ready, &p->lock);
		if (!p->count)
			break;
		job = p->jobs[p->head];
		p->head = (p->head + 1) % p->queue_limit;
		p->count--;
		pthread_mutex_unlock(&p->lock);
		job.work(job.arg);
		pthread_mutex_lock(&p->lock);
	}
	pthread_mutex_unlock(&p->lock);
	return NULL;
}

struct io_pool *io_pool_create(const char *name, uint32_t threads,
			       uint32_t queue_limit)
{
	struct io_pool *p = xcalloc(1, sizeof(*p));

	snprintf(p->name, sizeof(p->name), "%s", name);
	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->ready, NULL);
	p->queue_limit = queue_limit;
	p->jobs = xcalloc(queue_limit, sizeof(*p->jobs));
	p->threads = xcalloc(threads, sizeof(*p->threads));
	for (uint32_t i = 0; i < threads; i++) {
		if (pthread_create(&p->threads[i], NULL, run_jobs, p)) {
			log_event(LOG_ERROR, "thread-failed", "pool=%s", name);
			break;
		}
		p->thread_count++;
	}
	return p;
}

int io_pool_submit(struct io_pool *p, io_work_fn *work, void *job)
{
	int ret = -1;

	pthread_mutex_lock(&p->lock);
	if (p->count < p->queue_limit && !p->stopping) {
		uint32_t tail = (p->head + p->count) % p->queue_limit;

		p->jobs[tail] = (struct job){ .work = work, .arg = job };
		p->count++;
		pthread_cond_signal(&p->ready);
		ret = 0;
	}
	pthread_mutex_unlock(&p->lock);
	return ret;
}

void io_pool_destroy(struct io_pool *p)
{
	if (!p)
		return;
	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_cond_broadcast(&p->ready);
	pthread_mutex_unlock(&p->lock);
	for (uint32_t i = 0; i < p->thread_count; i++)
		pthread_join(p->threads[i], NULL);
	pthread_cond_destroy(&p->ready);
	pthread_mutex_destroy(&p->lock);
	free(p->threads);
	free(p->jobs);
	free(p);
}
