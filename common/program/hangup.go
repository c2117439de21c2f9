//go:build cgo

package program

/*
#include <signal.h>

// Until Go's runtime has installed its handlers, SIGHUP ends the process, and until
// os/signal is used, Go's handler does. A constructor runs before both.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
