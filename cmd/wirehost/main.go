// Command wirehost hosts routers on the bench's wire: batches of events on
// standard input, replies on standard output.
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
