#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "cmd.h"
#include "job-waits.h"
#include "log-line.h"

/* Maximum number of input files; each process writes its own log file. */
#define FILES_MAX 128

struct line {
	double at_s;
	char *text;
	bool shown; /* otherwise only used for the waits */
};

struct lines {
	struct line *items;
	size_t count;
	size_t malformed;
};

static void add_line(struct lines *all, double at_s, const char *text,
		     bool shown);
static int read_lines(struct lines *all, const char *path, const char *id);
static int read_directory(struct lines *all, const char *path, const char *id);
static int read_path(struct lines *all, const char *path, const char *id);
static int compare_time(const void *a, const void *b);
static void print_line(const struct line *l, double begin_s);

static void add_line(struct lines *all, double at_s, const char *text,
		     bool shown)
{
	struct line *l;

	all->items =
		xrealloc(all->items, (all->count + 1) * sizeof(*all->items));
	l = &all->items[all->count++];
	l->at_s = at_s;
	l->text = xstrdup(text);
	l->shown = shown;
}

/*
 * Returns true if a line mentions the job or one of its tasks, or reports a
 * change of the jobs' owner, of store availability or of the log itself.
 */
static bool is_relevant(const char *text, const char *id)
{
	return strstr(text, id) || strstr(text, "event=owner-elected") ||
	       strstr(text, "event=owner-acting") ||
	       strstr(text, "event=owner-stepped-down") ||
	       strstr(text, "event=intake-store-") ||
	       strstr(text, "event=log-");
}

static int read_lines(struct lines *all, const char *path, const char *id)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = NULL;
	size_t size = 0;

	if (!f) {
		perror(path);
		return CMD_INVALID_FILE;
	}
	while (getline(&text, &size, f) > 0) {
		/* A log collector may have added a prefix to the line. */
		const char *begin = strstr(text, "ts=");
		struct log_line l;

		text[strcspn(text, "\n")] = '\0';
		if (!strstr(text, "event="))
			continue;
		if (!begin || log_line_parse(begin, &l) < 0)
			all->malformed++;
		else if (is_relevant(text, id) || job_waits_uses_line(text))
			add_line(all, l.time_s, begin, is_relevant(text, id));
	}
	free(text);
	if (f != stdin)
		fclose(f);
	return CMD_OK;
}

/* Reads all files of a directory, except hidden ones and directories. */
static int read_directory(struct lines *all, const char *path, const char *id)
{
	struct dirent **names;
	int count = scandir(path, &names, NULL, alphasort), ret = CMD_OK;

	if (count < 0) {
		perror(path);
		return CMD_INVALID_FILE;
	}
	for (int i = 0; i < count; i++) {
		char file[4096];
		struct stat st;

		snprintf(file, sizeof(file), "%s/%s", path, names[i]->d_name);
		if (ret == CMD_OK && names[i]->d_name[0] != '.' &&
		    stat(file, &st) == 0 && S_ISREG(st.st_mode))
			ret = read_lines(all, file, id);
		free(names[i]);
	}
	free(names);
	return ret;
}

static int read_path(struct lines *all, const char *path, const char *id)
{
	struct stat st;

	if (strcmp(path, "-") != 0 && stat(path, &st) == 0 &&
	    S_ISDIR(st.st_mode))
		return read_directory(all, path, id);
	return read_lines(all, path, id);
}

static int compare_time(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	return x->at_s < y->at_s ? -1 : x->at_s > y->at_s;
}

static void print_line(const struct line *l, double begin_s)
{
	const char *node = strstr(l->text, "node=");
	const char *event = strstr(l->text, "event=");

	printf("%+10.3f s  %-20.*s %s\n", l->at_s - begin_s,
	       node ? (int)strcspn(node + 5, " ") : 1, node ? node + 5 : "-",
	       event ? event + 6 : l->text);
}

/* Prints what the job waited for, if it waited. */
static void print_waits(const struct lines *all, const char *id, double begin_s)
{
	struct job_waits *w = job_waits_create(id);

	for (size_t i = 0; i < all->count; i++)
		job_waits_add(w, all->items[i].at_s, all->items[i].text);
	if (job_waits_count(w))
		printf("\nwaits:\n");
	job_waits_print(w, begin_s, stdout);
	job_waits_free(w);
}

/*
 * Prints all lines from the first to the last one that names the job, and what
 * it waited for.
 */
static int print_job(const struct lines *all, const char *id)
{
	size_t first = 0, last = 0;
	bool found = false;

	for (size_t i = 0; i < all->count; i++) {
		if (!strstr(all->items[i].text, id))
			continue;
		if (!found)
			first = i;
		found = true;
		last = i;
	}
	if (!found) {
		fprintf(stderr, "no log line mentions job %s\n", id);
		return CMD_REFUSED;
	}
	for (size_t i = first; i <= last; i++)
		if (all->items[i].shown)
			print_line(&all->items[i], all->items[first].at_s);
	print_waits(all, id, all->items[first].at_s);
	if (all->malformed)
		fprintf(stderr, "%zu malformed lines skipped\n",
			all->malformed);
	return CMD_OK;
}

int cmd_job_explain(int argc, char **argv)
{
	struct cmd_options o;
	struct lines all = { 0 };
	int ret;

	cmd_options_init(&o);
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "job to explain");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, FILES_MAX,
			  "logs of entry VMs, or directories of logs; standard "
			  "input by default");
	void *table[] = { CMD_OPTIONS_TABLE(&o), id, files, o.end };

	ret = cmd_parse(&o, table, sizeof(table) / sizeof(table[0]),
			"job explain",
			"Prints the log lines of a job in chronological order, "
			"and what it waited for.",
			argc, argv);
	if (ret >= 0)
		goto out;
	ret = CMD_OK;
	for (int i = 0; i < files->count && ret == CMD_OK; i++)
		ret = read_path(&all, files->filename[i], id->sval[0]);
	if (!files->count)
		ret = read_lines(&all, "-", id->sval[0]);
	if (ret != CMD_OK)
		goto out;
	qsort(all.items, all.count, sizeof(*all.items), compare_time);
	ret = print_job(&all, id->sval[0]);
out:
	for (size_t i = 0; i < all.count; i++)
		free(all.items[i].text);
	free(all.items);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
