// Package inifl reads INI files strictly and writes configurations as INI.
//
// Unknown sections and keys, duplicates and invalid values are mistakes. All mistakes
// of a file are reported together, each as a *Mistake with the file, the section, the
// key and the expected value.
package inifl
