// Package inifl reads INI files strictly and writes configurations as INI.
//
// Every mistake of a file is found at once, each as a *Mistake with file,
// section, key and what was expected.
package inifl
