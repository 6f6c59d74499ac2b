/* Runs the processes of two failure domains and their stand-ins on loopback.
 *
 * A test can kill and freeze each process. The bus connections between
 * daemons, and the connections of daemons to the platform, pass through links
 * that a test can cut. Each instance has its own addresses, so that several
 * can run concurrently. */
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

/* Settings of the daemons in tests, ms; shorter than the defaults. */
#define HARNESS_LEASE_MS 3000
#define HARNESS_CONFIG_LEASE_MS 1500
#define HARNESS_TERM_TTL_MS 1000

enum HarnessProcess {
    /* Stand-ins: the platform, the links between the processes, and the
     * workers and backend servers of domains 1 and 2. */
    HARNESS_PLATFORM,
    HARNESS_FORWARD,
    HARNESS_WORKERS1,
    HARNESS_WORKERS2,
    HARNESS_BACKEND1,
    HARNESS_BACKEND2,
    /* Daemons: two schedulers and a gate of domain 1, then of domain 2. */
    HARNESS_S11,
    HARNESS_S12,
    HARNESS_G1,
    HARNESS_S21,
    HARNESS_S22,
    HARNESS_G2,
    HARNESS_PROCESSES,
};

struct Harness {
    /* Selects the addresses, 127.0.(100 + instance).*. */
    unsigned instance;
    /* 0 for a process that is not running. */
    pid_t pids[HARNESS_PROCESSES];
    char log_folder[64];
    /* Set before Harness_Start: true to start the daemons with their default
     * settings instead of those of the tests. */
    bool default_settings;
    /* Set before Harness_Start: workers of each domain; 0 stands for 4. */
    unsigned workers;
    /* Set before Harness_Start: time that a backend server takes for a
     * request, ms. */
    unsigned service_ms;
    /* Numbers of the links that are cut, in the format of the fault `cut` of
     * the stand-in. */
    char cut_links[256];
};

/* Command of the binary that runs concurrently with the test. */
struct HarnessCommand {
    pid_t pid;
    /* Path of the file that receives its output. */
    char output[128];
};

/* Sets the paths of the programs to the folder of the test program `program`
 * and initializes libcurl; call once, before the other functions. */
void Harness_SetUp(const char *program);

/* Paths of the scheduler's binary and of the stand-in. */
const char *Harness_Binary(void);
const char *Harness_Standin(void);

/* Starts a program, whose path is arguments[0], with its output appended to
 * the file `log`. `arguments` ends with NULL. Returns its process id. */
pid_t Harness_Spawn(const char *log, char *const *arguments);

/* Starts all processes and creates the account; waits until both domains are
 * ready. Returns false if that fails or takes too long; the caller must call
 * Harness_Stop in either case. */
bool Harness_Start(struct Harness *harness, unsigned instance);

/* Kills all processes. */
void Harness_Stop(struct Harness *harness);

/* Removes the logs and their folder, unless `keep` is true. */
void Harness_CleanUp(struct Harness *harness, bool keep);

/* Writes the address of a process's HTTP service, host:port. */
void Harness_Address(const struct Harness *harness,
                     enum HarnessProcess process, char *to, size_t size);

/* Sends a GET request for a path and returns the body of the response, which
 * the caller frees. Returns NULL if no response with status 200 arrives within
 * 1 s. */
char *Harness_Get(const struct Harness *harness, enum HarnessProcess process,
                  const char *path);

/* Sets faults of a stand-in, as in "lose=1 lose_path=/table". Returns false if
 * the stand-in did not accept them. */
bool Harness_SetFaults(const struct Harness *harness,
                       enum HarnessProcess process, const char *faults);

/* Waits until the stand-in's record contains the text. Returns false after
 * `limit_ms`. */
bool Harness_WaitRecord(const struct Harness *harness,
                        enum HarnessProcess process, const char *text,
                        int64_t limit_ms);

/* Waits until a scheduler leads domain 1 or 2. Returns the scheduler
 * as an enum HarnessProcess, or -1 if there is no leader after `limit_ms`. */
int Harness_Leader(const struct Harness *harness, int domain,
                   int64_t limit_ms);

/* Kills a process with SIGKILL. */
void Harness_Kill(struct Harness *harness, enum HarnessProcess process);

/* Suspends a process with SIGSTOP, or resumes it with SIGCONT if `frozen` is
 * false. */
void Harness_SetFrozen(const struct Harness *harness,
                       enum HarnessProcess process, bool frozen);

/* Starts a daemon that is not running: a scheduler or a gate. */
void Harness_StartDaemon(struct Harness *harness, enum HarnessProcess process);

/* Cuts the links of one daemon to the platform, in addition to those that are
 * cut already. */
void Harness_CutPlatformLinks(struct Harness *harness,
                              enum HarnessProcess process);

/* Cuts all bus links between the two domains, in addition to those that are
 * cut already. */
void Harness_CutDomainLinks(struct Harness *harness);

/* Restores all links that were cut. */
void Harness_RestoreLinks(struct Harness *harness);

/* Starts the command `name` of the binary as the account, or as an operator.
 * The further arguments are strings, ended by NULL; the gates' addresses, the
 * credentials and --output=json are appended. */
void Harness_StartCommand(const struct Harness *harness,
                          struct HarnessCommand *command, bool as_operator,
                          const char *name, ...) __attribute__((sentinel));

/* Waits until the command has terminated and returns its exit code, or -1 if a
 * signal ended it. The caller frees the output, which is never NULL. */
int Harness_WaitCommand(struct HarnessCommand *command, char **output);

/* Returns the time of the machine's monotonic clock, ms; the stand-ins'
 * records use the same clock. */
int64_t Harness_Now(void);

void Harness_Sleep(int64_t wait_ms);

#endif
