// The platform starts programs that are linked with the system's C library by the external linker; importing C selects that
// linker.

package main

import "C"
