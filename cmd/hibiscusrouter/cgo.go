// The users' platform starts programs that are linked with the system's C library by the external linker, which the import of
// C asks for.

package main

import "C"
