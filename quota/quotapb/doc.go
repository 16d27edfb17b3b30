// Package quotapb holds the messages by which instances share usage caps.
package quotapb
