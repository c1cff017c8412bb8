// Command standin runs stand-ins for the systems that bramleyhatch connects to, and an end-to-end
// demo on loopback.
package main

import (
	"os"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
