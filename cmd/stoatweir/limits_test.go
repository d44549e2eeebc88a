package main

import "fmt"

// A share of a small memory quota is held in reserve, and a fixed amount of a large one.
func Example_memoryLimit() {
	for _, quotaMB := range []int{16, 64, 120, 256, 1024} {
		fmt.Println(quotaMB, memoryLimitBytes(quotaMB)>>20)
	}
	// Output:
	// 16 9
	// 64 38
	// 120 72
	// 256 208
	// 1024 976
}
