/* Log line of a process that is ended by a fatal signal. */
#ifndef SR_FATAL_SIGNAL_H
#define SR_FATAL_SIGNAL_H

/* Makes the signals of program errors (SIGSEGV, SIGBUS, SIGILL, SIGFPE and
 * SIGABRT) write one line to `fd` before they end the process: the signal, the
 * address that was accessed and the addresses of the stack. `process` is
 * copied. */
void SrFatalSignal_Start(int fd, const char *process);

#endif
