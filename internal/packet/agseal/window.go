package agseal

// windowSize is the number of counters that may arrive out of order. At
// 100,000 datagrams a second from one sender it covers 80 ms of reordering.
const windowSize = 8192

const (
	wordBits    = 64
	windowWords = windowSize / wordBits
)

// window is a replay window over a ring of bits. The ring is cleared one word
// at a time as the highest counter grows, so the usable size is windowSize
// minus one word.
type window struct {
	highest uint64
	bits    [windowWords]uint64
}

// seen reports whether a counter was accepted before or is too old to tell.
func (w *window) seen(counter uint64) bool {
	if counter > w.highest {
		return false
	}
	if counter == 0 || w.highest-counter > windowSize-wordBits {
		return true
	}
	return w.bits[counter/wordBits%windowWords]&(1<<(counter%wordBits)) != 0
}

// accept marks a counter. It returns false if the counter was seen before.
func (w *window) accept(counter uint64) bool {
	if w.seen(counter) {
		return false
	}
	if counter > w.highest {
		from, to := w.highest/wordBits, counter/wordBits
		for i := range min(to-from, windowWords) {
			w.bits[(from+1+i)%windowWords] = 0
		}
		w.highest = counter
	}
	w.bits[counter/wordBits%windowWords] |= 1 << (counter % wordBits)
	return true
}
