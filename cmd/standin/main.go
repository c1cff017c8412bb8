// Command standin runs small stand-ins for the systems outside of bramleyhatch,
// and a demo of the whole path on loopback.
package main

import (
	"os"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
