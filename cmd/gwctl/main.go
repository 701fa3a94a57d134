// Command gwctl is the command-line client for operators. Its exit codes are
// documented in package operator.
package main

import (
	"os"

	"godwitward.example/godwitward/internal/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
