package agseal

// windowSize is the number of most recent counters that the window covers. With
// 100,000 datagrams per second from one sender it allows 80 ms of reordering.
const windowSize = 8192

const (
	wordBits    = 64
	windowWords = windowSize / wordBits
)

// window is a replay window in a ring of bits, one for each counter. The ring is
// cleared by whole words as the highest counter increases, so the usable size is
// windowSize minus one word.
type window struct {
	highest uint64
	bits    [windowWords]uint64
}

// isReplay reports whether a counter was accepted before or is too old for the
// window. The counter 0 is never valid.
func (w *window) isReplay(counter uint64) bool {
	if counter > w.highest {
		return false
	}
	if counter == 0 || w.highest-counter > windowSize-wordBits {
		return true
	}
	return w.bits[counter/wordBits%windowWords]&(1<<(counter%wordBits)) != 0
}

// accept marks a counter as received. It returns false if isReplay does not allow
// the counter.
func (w *window) accept(counter uint64) bool {
	if w.isReplay(counter) {
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
