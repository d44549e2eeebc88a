package admin

import (
	"fmt"
	"strings"
)

// Whatever is sent, cut at any byte, ends in a word or in an error.
func ExampleLine() {
	for _, text := range []string{"status\n", "status\r\n", "  stats \n", "\n", "status", "", "sta\x00tus\n", "status\nstandby\n",
		strings.Repeat("a", maxLine) + "\n", strings.Repeat("a", maxLine+1) + "\n"} {
		var first string
		for cut := range len(text) + 1 {
			var l Line
			whole, err := l.Feed([]byte(text[:cut]), false)
			if err == nil {
				whole, err = l.Feed([]byte(text[cut:]), true)
			}
			got := fmt.Sprintf("%.20q: whole %v, word %.10q, %v", text, whole, l.Word(), err)
			if cut == 0 {
				first = got
				fmt.Println(got)
			} else if !whole && err == nil || whole && got != first {
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
