/* Starts the processes of two failure domains and the stand-ins on loopback,
 * and lets a test kill, freeze and cut them. Each instance has addresses of
 * its own, so that several run beside each other. */
#ifndef HARNESS_H
#define HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HARNESS_NAME_SIZE 32
#define HARNESS_ACCOUNT "greens"
#define HARNESS_ACCOUNT_KEY "account-key-1"
#define HARNESS_OPERATOR_KEY "operator-key-1"

/* Settings of the tests, ms; the real ones are longer. */
#define HARNESS_LEASE_MS 3000
#define HARNESS_CONFIG_LEASE_MS 1500
#define HARNESS_TERM_TTL_MS 1000

enum HarnessProcess {
    HARNESS_PLATFORM,
    HARNESS_FORWARD,
    HARNESS_WORKERS1,
    HARNESS_WORKERS2,
    HARNESS_BACKEND1,
    HARNESS_BACKEND2,
    HARNESS_S11,
    HARNESS_S12,
    HARNESS_G1,
    HARNESS_S21,
    HARNESS_S22,
    HARNESS_G2,
    HARNESS_PROCESSES,
};

struct Harness {
    unsigned instance;
    pid_t pids[HARNESS_PROCESSES];
    char log_folder[64];
    /* Set before the start: real settings instead of the tests', and other
     * numbers of workers and backend servers than the tests'. */
    bool default_settings;
    unsigned workers;
    unsigned service_ms;
    /* Numbers of the links that are cut, as the stand-in takes them. */
    char cut[256];
};

/* A command line that runs beside the test. */
struct HarnessCommand {
    pid_t pid;
    char output[128];
};

/* Finds the programs beside the test's own; call once. */
void Harness_SetUp(const char *program);

/* Paths of the programs. */
const char *Harness_Binary(void);
const char *Harness_Standin(void);

/* Starts a program with its output added to the log. */
pid_t Harness_Spawn(const char *log, char *const *arguments);

/* Starts everything and creates the account; false if it does not come up. */
bool Harness_Start(struct Harness *harness, unsigned instance);

/* Ends all processes. */
void Harness_Stop(struct Harness *harness);

/* Keeps the logs' folder if `keep`, else removes it. */
void Harness_CleanUp(struct Harness *harness, bool keep);

/* Address of a process's HTTP service. */
void Harness_Address(const struct Harness *harness,
                     enum HarnessProcess process, char *to, size_t size);

/* GET of a path; the caller frees the text, which is NULL on failure. */
char *Harness_Get(const struct Harness *harness, enum HarnessProcess process,
                  const char *path);

/* Sets faults of a stand-in, as in "lose=1 lose_path=/table". */
bool Harness_SetFaults(const struct Harness *harness,
                       enum HarnessProcess process, const char *faults);

/* Waits until the stand-in's record holds the text. */
bool Harness_WaitRecord(const struct Harness *harness,
                        enum HarnessProcess process, const char *text,
                        int64_t limit_ms);

/* The scheduler that leads domain 1 or 2, waiting for one; -1 if none. */
int Harness_Leader(const struct Harness *harness, int domain,
                   int64_t limit_ms);

void Harness_Kill(struct Harness *harness, enum HarnessProcess process);
void Harness_Freeze(const struct Harness *harness, enum HarnessProcess process,
                    bool frozen);

/* Starts a killed daemon again. */
void Harness_StartDaemon(struct Harness *harness, enum HarnessProcess process);

/* Cuts, or with `cut` false mends, the links of one process to the platform,
 * or of a domain to the other domain. */
void Harness_CutPlatformLinks(struct Harness *harness,
                              enum HarnessProcess process);
void Harness_CutDomainLinks(struct Harness *harness);
void Harness_RestoreLinks(struct Harness *harness);

/* Starts a command of the binary as the account, or as an operator. Further
 * arguments are strings, ended by NULL. */
void Harness_StartCommand(const struct Harness *harness,
                          struct HarnessCommand *command, bool as_operator,
                          const char *name, ...) __attribute__((sentinel));

/* Waits for the command's exit code; -1 if it did not exit by itself. The
 * caller frees the output. */
int Harness_WaitCommand(struct HarnessCommand *command, char **output);

int64_t Harness_Now(void);
void Harness_Sleep(int64_t wait_ms);

#endif
