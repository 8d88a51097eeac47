package stmt

import (
	"slices"
	"strings"
)

// committingWords start statements that may commit: the open transaction, or transactions of
// their own.
var committingWords = wordSet("commit", "end", "prepare", "execute", "call", "do",
	"vacuum", "cluster", "reindex", "analyze", "analyse", "repack", "discard")

// ownTxWords mark the definitions of objects that run transactions of their own.
var ownTxWords = wordSet("concurrently", "database", "tablespace", "subscription", "system", "materialized")

// definitionWords start the definitions of objects.
var definitionWords = wordSet("create", "drop", "alter", "refresh")

// rollbackWords start statements that end the transaction without committing it.
var rollbackWords = wordSet("rollback", "abort")

// sessionWords start statements that only concern the session.
var sessionWords = wordSet("begin", "start", "set", "reset", "show")

// effects tells what a text can do, without regard to the quoting and comments in it: what
// Classify reads as a literal counts as well.
func effects(text string) (neverCommits, writesNothing bool) {
	words := textWords(text)
	if len(words) == 0 {
		return true, true
	}
	found := func(set map[string]bool) bool {
		return slices.ContainsFunc(words, func(word string) bool { return set[word] })
	}
	single := isSingle(text)
	if !single {
		return !found(committingWords) && !found(rollbackWords) && !found(ownTxWords), false
	}
	first := words[0]
	return !committingWords[first] && !(definitionWords[first] && found(ownTxWords)), sessionWords[first]
}

// isSingle reports whether the text is one statement that starts with its first word, whatever
// quotes and comments it contains.
func isSingle(text string) bool {
	const space = " \t\r\n\f\v"
	text = strings.Trim(text, space+";")
	return !strings.Contains(text, ";") && isLetter(text[0])
}

// textWords returns the words of a text in lower case.
func textWords(text string) []string {
	var words []string
	for pos := 0; pos < len(text); {
		if !isLetter(text[pos]) {
			pos++
			continue
		}
		start := pos
		for pos < len(text) && isWordByte(text[pos]) {
			pos++
		}
		words = append(words, strings.ToLower(text[start:pos]))
	}
	return words
}

func isLetter(b byte) bool { return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' }
