package discovery

// nameIndex maps each name to a small index: the configured names in their order, then others in
// the order in which they are first seen.
type nameIndex map[string]int

func newNameIndex(configured []string) nameIndex {
	index := nameIndex{}
	for _, name := range configured {
		index.indexOf(name)
	}
	return index
}

// indexOf returns the index of a name, and assigns the next one to a name that is new.
func (n nameIndex) indexOf(name string) int {
	index, known := n[name]
	if !known {
		index = len(n)
		n[name] = index
	}
	return index
}

// names returns all names in the order of their indices.
func (n nameIndex) names() []string {
	names := make([]string, len(n))
	for name, index := range n {
		names[index] = name
	}
	return names
}
