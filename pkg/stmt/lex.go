package stmt

import "strings"

// token is a word, a quoted identifier, a literal or parameter, or one punctuation
// character.
type token struct {
	text    string
	literal bool
	quoted  bool
}

// tokenize splits a text into tokens; ok is false if a comment or a quoted string is not
// closed, or if it is unclear where a string ends, and the tokens are those before it.
func tokenize(text string) (tokens []token, ok bool) {
	for pos := 0; pos < len(text); {
		skipped, closed := skipSpaceOrComment(text, pos)
		if !closed {
			return tokens, false
		}
		if skipped > pos {
			pos = skipped
			continue
		}
		tok, next, closed := next(text, pos)
		if !closed {
			return tokens, false
		}
		tokens = append(tokens, tok)
		pos = next
	}
	return tokens, true
}

// skipSpaceOrComment returns the position after one space character or comment, or false
// if the comment is not closed.
func skipSpaceOrComment(text string, pos int) (int, bool) {
	switch {
	case strings.IndexByte(" \t\r\n\f\v", text[pos]) >= 0:
		return pos + 1, true
	case strings.HasPrefix(text[pos:], "--"):
		end := strings.IndexAny(text[pos:], "\r\n")
		if end < 0 {
			return len(text), true
		}
		return pos + end, true
	case strings.HasPrefix(text[pos:], "/*"):
		return skipComment(text, pos)
	}
	return pos, true
}

// skipComment returns the position after a block comment; PostgreSQL's comments nest.
func skipComment(text string, pos int) (int, bool) {
	depth := 0
	for pos < len(text) {
		switch {
		case strings.HasPrefix(text[pos:], "/*"):
			depth++
			pos += 2
		case strings.HasPrefix(text[pos:], "*/"):
			depth--
			pos += 2
			if depth == 0 {
				return pos, true
			}
		default:
			pos++
		}
	}
	return pos, false
}

// next returns the token at pos and the position after it.
func next(text string, pos int) (token, int, bool) {
	first := text[pos]
	switch {
	case first == '\'':
		return quoted(text, pos, '\'')
	case first == '"':
		tok, end, ok := quoted(text, pos, '"')
		tok.literal, tok.quoted = false, true
		return tok, end, ok
	case first == '$':
		return dollar(text, pos)
	case isWordByte(first):
		end := pos
		for end < len(text) && (isWordByte(text[end]) || text[end] == '$') {
			end++
		}
		return token{text: strings.ToLower(text[pos:end])}, end, true
	}
	return token{text: text[pos : pos+1]}, pos + 1, true
}

// quoted scans text between quotes. It fails on a backslash in a string literal, since
// it depends on the kind of the string whether a backslash escapes the next character.
func quoted(text string, pos int, mark byte) (token, int, bool) {
	for end := pos + 1; end < len(text); end++ {
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
		content := strings.ReplaceAll(text[pos+1:end], string([]byte{mark, mark}), string(mark))
		return token{text: content, literal: true}, end + 1, true
	}
	return token{}, len(text), false
}

// dollar scans a parameter ($1) or a dollar-quoted string.
func dollar(text string, pos int) (token, int, bool) {
	end := pos + 1
	for end < len(text) && isWordByte(text[end]) {
		end++
	}
	if end >= len(text) || text[end] != '$' {
		return token{text: text[pos:end], literal: true}, end, true
	}
	tag := text[pos : end+1]
	closing := strings.Index(text[end+1:], tag)
	if closing < 0 {
		return token{}, len(text), false
	}
	return token{text: text[end+1 : end+1+closing], literal: true}, end + 1 + closing + len(tag), true
}

func isWordByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
