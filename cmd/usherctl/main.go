// Command usherctl is part of agateusher.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	if _, err := net.ResolveTCPAddr("tcp", "127.0.0.1:0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
