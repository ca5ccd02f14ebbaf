// Command wirehost runs decision modules for the simulator: it reads batches of events in the text protocol of package
// wire from standard input and writes the replies to standard output.
package main

import (
	"fmt"
	"os"

	"gannethook/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
