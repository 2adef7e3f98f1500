package main

import (
	"os"

	"hibiscusrouter/hibiscuscommand"
)

func main() { os.Exit(hibiscuscommand.Run(os.Args[1:], os.Stdout, os.Stderr)) }
