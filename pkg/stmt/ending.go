package stmt

import "strings"

// endingWords are the words without which no text can end a transaction or run one of its
// own: transaction control, the calls of procedures, which may commit, and maintenance.
var endingWords = wordSet("commit", "end", "rollback", "abort", "prepare", "call", "do",
	"vacuum", "cluster", "reindex", "concurrently", "database", "tablespace", "subscription", "system")

// keepsTx reports whether the text can't end a transaction, whatever the quoting and comments
// in it: none of endingWords occurs in it, not even in a literal.
func keepsTx(text string) bool {
	for pos := 0; pos < len(text); {
		if !isLetter(text[pos]) {
			pos++
			continue
		}
		start := pos
		for pos < len(text) && isWordByte(text[pos]) {
			pos++
		}
		if endingWords[strings.ToLower(text[start:pos])] {
			return false
		}
	}
	return true
}

func isLetter(b byte) bool { return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' }
