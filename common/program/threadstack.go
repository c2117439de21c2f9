//go:build cgo && linux

package program

/*
#define _GNU_SOURCE
#include <pthread.h>

// A thread's default stack has the size of RLIMIT_STACK, often 8 MB, all of which counts
// against RLIMIT_DATA. Go runs goroutines on stacks of its own.
enum { thread_stack_bytes = 256 << 10 };

__attribute__((constructor)) static void limit_thread_stacks(void) {
	pthread_attr_t attr;
	size_t size;
	if (pthread_getattr_default_np(&attr) != 0)
		return;
	if (pthread_attr_getstacksize(&attr, &size) == 0 && size > thread_stack_bytes &&
	    pthread_attr_setstacksize(&attr, thread_stack_bytes) == 0)
		pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}
*/
import "C"
