/* Includes that cmocka.h requires before it, in this order, and util.h. */
#ifndef TEST_SUPPORT_H
#define TEST_SUPPORT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "util.h"

#endif
