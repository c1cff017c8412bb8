package budget

// valueBytes is the memory of a decoded JSON value beyond its text: its share of a struct, map or slice, which may have
// grown to twice its size.
const valueBytes = 128

// JSONBytes returns an upper bound of the memory that decoding a JSON text takes. Many small values take far more than
// their text.
func JSONBytes(text []byte) int64 {
	values := int64(0)
	for _, character := range text {
		switch character {
		case ',', ':', '{', '[':
			values++
		}
	}
	return int64(len(text)) + values*valueBytes
}
