package admin

import (
	"fmt"
	"strings"
)

// Any input ends in a command name or in an error, and the result doesn't depend on where the input
// is split between reads.
func ExampleLine() {
	for _, text := range []string{"status\n", "status\r\n", "  stats \n", "\n", "status", "", "sta\x00tus\n", "status\nstandby\n",
		strings.Repeat("a", maxLineBytes) + "\n", strings.Repeat("a", maxLineBytes+1) + "\n"} {
		var first string
		for cut := range len(text) + 1 {
			var l Line
			complete, err := l.Feed([]byte(text[:cut]), false)
			if err == nil {
				complete, err = l.Feed([]byte(text[cut:]), true)
			}
			got := fmt.Sprintf("%.20q: whole %v, word %.10q, %v", text, complete, l.Command(), err)
			if cut == 0 {
				first = got
				fmt.Println(got)
			} else if !complete && err == nil || complete && got != first {
				fmt.Println("cut at", cut, got)
			}
		}
	}
	// Output:
	// "status\n": whole true, word "status", <nil>
	// "status\r\n": whole true, word "status", <nil>
	// "  stats \n": whole true, word "stats", <nil>
	// "\n": whole true, word "", <nil>
	// "status": whole false, word "status", the line has no end
	// "": whole false, word "", the line has no end
	// "sta\x00tus\n": whole false, word "sta", a NUL in the line
	// "status\nstandby\n": whole false, word "status", more than one line
	// "aaaaaaaaaaaaaaaaaaaa": whole true, word "aaaaaaaaaa", <nil>
	// "aaaaaaaaaaaaaaaaaaaa": whole false, word "aaaaaaaaaa", the line is over 256 bytes
}
