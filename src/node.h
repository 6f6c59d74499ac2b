/* A node process: handles callers' requests, and leads when it is elected. All
 * nodes run the same program; all durable state is in the store. */
#ifndef SR_NODE_H
#define SR_NODE_H

/* Environment variable with the path of the node's settings file. */
#define SR_NODE_SETTINGS_VARIABLE "SASSAFRASRELAY_CONFIG"

/* Runs a node until the process is signalled to stop; returns the exit code of
 * the process. */
int SrNode_Run(const char *settings_path);

/* Checks the settings file and reports errors on standard error; returns the
 * exit code of the process. */
int SrNode_Check(const char *settings_path);

#endif
