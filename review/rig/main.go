// Command review-rig runs the cases of the review that are scripts: it starts control
// processes and gateways as separate processes on loopback addresses, with stand-ins for
// backend servers, callers, operators and the platform.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"lateorder": lateOrder,
	"truncated": truncated,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		rec.add("the rule was broken")
		os.Exit(1)
	}
	rec.add("the rule held")
}
