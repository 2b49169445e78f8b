package job

// bitmap is a set of small integers that grows as needed. JSON encodes it in base64.
type bitmap []byte

func (b bitmap) has(i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

func (b *bitmap) set(i int) {
	for i/8 >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}
