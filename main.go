// Command bramleyhatch serves reinforcement learning rollouts and live model requests.
package main

import (
	"os"

	"github.com/bramleyhatch/bramleyhatch/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
