// Package burnpb holds the objects in which instances keep what they measured.
package burnpb
