/* A node: takes callers' requests, and leads when it is elected. All nodes
 * are alike; what must last is in the store. */
#ifndef SR_NODE_H
#define SR_NODE_H

/* Environment variable that holds the path of a node's settings. */
#define SR_NODE_SETTINGS_VARIABLE "SASSAFRASRELAY_CONFIG"

/* Runs until a signal ends it; returns the process's exit code. */
int SrNode_Run(const char *settings_path);

/* Checks the settings and prints an error, if any; returns an exit code. */
int SrNode_Check(const char *settings_path);

#endif
