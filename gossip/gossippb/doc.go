// Package gossippb holds the generated messages between entry instances.
package gossippb
