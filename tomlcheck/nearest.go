package tomlcheck

// Nearest returns the valid name with the smallest edit distance to name, or ""
// if none is within a third of the length of name.
func Nearest(name string, valid []string) string {
	best, bestDistance := "", max(len(name)/3, 1)+1
	for _, v := range valid {
		if d := editDistance(name, v); d < bestDistance {
			best, bestDistance = v, d
		}
	}
	return best
}

// editDistance returns the minimum number of insertions, deletions, substitutions
// and transpositions of adjacent bytes that turn a into b.
func editDistance(a, b string) int {
	var rowBefore []int
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		next := make([]int, len(b)+1)
		next[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next[j] = min(row[j]+1, next[j-1]+1, row[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				next[j] = min(next[j], rowBefore[j-2]+1)
			}
		}
		rowBefore, row = row, next
	}
	return row[len(b)]
}
