package stmt

import "strings"

// token is a word, a string literal, or one punctuation character.
type token struct {
	text    string
	literal bool
	quoted  bool
}

// words splits a statement; ok is false where a comment, string or quote does not end.
func words(text string) (tokens []token, ok bool) {
	for at := 0; at < len(text); {
		skipped, fine := skipBlank(text, at)
		if !fine {
			return nil, false
		}
		if skipped > at {
			at = skipped
			continue
		}
		found, next, fine := next(text, at)
		if !fine {
			return nil, false
		}
		tokens = append(tokens, found)
		at = next
	}
	return tokens, true
}

func skipBlank(text string, at int) (int, bool) {
	switch {
	case strings.IndexByte(" \t\r\n\f\v", text[at]) >= 0:
		return at + 1, true
	case strings.HasPrefix(text[at:], "--"):
		end := strings.IndexAny(text[at:], "\r\n")
		if end < 0 {
			return len(text), true
		}
		return at + end, true
	case strings.HasPrefix(text[at:], "/*"):
		return skipComment(text, at)
	}
	return at, true
}

// skipComment passes a block comment; PostgreSQL's comments nest.
func skipComment(text string, at int) (int, bool) {
	depth := 0
	for at < len(text) {
		switch {
		case strings.HasPrefix(text[at:], "/*"):
			depth++
			at += 2
		case strings.HasPrefix(text[at:], "*/"):
			depth--
			at += 2
			if depth == 0 {
				return at, true
			}
		default:
			at++
		}
	}
	return at, false
}

func next(text string, at int) (token, int, bool) {
	first := text[at]
	switch {
	case first == '\'':
		return quoted(text, at, '\'')
	case first == '"':
		found, end, ok := quoted(text, at, '"')
		found.literal, found.quoted = false, true
		return found, end, ok
	case first == '$':
		return dollar(text, at)
	case isWord(first):
		end := at
		for end < len(text) && (isWord(text[end]) || text[end] == '$') {
			end++
		}
		return token{text: strings.ToLower(text[at:end])}, end, true
	}
	return token{text: text[at : at+1]}, at + 1, true
}

// quoted passes a quoted run; a backslash in it makes the end uncertain, since
// escape strings and plain strings end differently.
func quoted(text string, at int, mark byte) (token, int, bool) {
	for end := at + 1; end < len(text); end++ {
		if text[end] == '\\' && mark == '\'' {
			return token{}, end, false
		}
		if text[end] != mark {
			continue
		}
		if end+1 < len(text) && text[end+1] == mark {
			end++
			continue
		}
		return token{text: text[at+1 : end], literal: true}, end + 1, true
	}
	return token{}, len(text), false
}

// dollar passes a parameter ($1) or a dollar-quoted string.
func dollar(text string, at int) (token, int, bool) {
	end := at + 1
	for end < len(text) && isWord(text[end]) {
		end++
	}
	if end >= len(text) || text[end] != '$' {
		return token{text: text[at:end], literal: true}, end, true
	}
	tag := text[at : end+1]
	closing := strings.Index(text[end+1:], tag)
	if closing < 0 {
		return token{}, len(text), false
	}
	return token{literal: true}, end + 1 + closing + len(tag), true
}

func isWord(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
