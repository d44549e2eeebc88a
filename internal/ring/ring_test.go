package ring

import (
	"bytes"
	"fmt"
)

// Bytes written past the end of the array continue at its beginning, and are read in order.
func Example_wrapsAround() {
	var b Buffer
	text := bytes.Repeat([]byte("0123456789"), Size/5)
	fmt.Println("empty:", len(b.Bytes()), "of", len(text), "written:", b.Write(text), "room:", len(b.FreeSpace()))
	b.Discard(Size - 3)
	fmt.Printf("left: %q, room: %d\n", b.Bytes(), len(b.FreeSpace()))
	fmt.Println("written:", b.Write([]byte("abcdef")))
	for b.Len() > 0 {
		fmt.Printf("%q ", b.Bytes())
		b.Discard(len(b.Bytes()))
	}
	b.Release()
	fmt.Println("after:", b.Len())
	// Output:
	// empty: 0 of 8190 written: 4096 room: 0
	// left: "345", room: 4093
	// written: 6
	// "345" "abcdef" after: 0
}

// The slices returned by FreeSpace and Bytes don't overlap, so a goroutine may fill the former
// while the owner reads the latter.
func Example_disjoint() {
	var b Buffer
	b.Write([]byte("held"))
	copy(b.FreeSpace(), "XXXX")
	fmt.Printf("%q\n", b.Bytes())
	b.Commit(4)
	fmt.Printf("%q\n", b.Bytes())
	// Output:
	// "held"
	// "heldXXXX"
}
