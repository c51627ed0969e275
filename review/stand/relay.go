package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// relay is a TCP relay in front of one port of a daemon. During a cut it holds back the bytes of
// the connections for which isCut returns true, in both directions and without a reset.
type relay struct {
	target   string
	listener net.Listener
	// isCut is asked with the process that opened a connection; 0 if it is unknown.
	isCut func(process int) bool
	// processes returns the processes among which the one that opened a connection is sought.
	processes func() []int

	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

func newRelay(host, target string, processes func() []int, isCut func(process int) bool) (*relay, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	made := &relay{target: target, listener: listener, isCut: isCut, processes: processes, open: map[net.Conn]struct{}{}}
	go made.accept()
	return made, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

// carry relays one connection until either side ends it.
func (r *relay) carry(near net.Conn) {
	process := ownerOf(near.RemoteAddr().(*net.TCPAddr), r.processes())
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	r.mutex.Lock()
	r.open[near], r.open[far] = struct{}{}, struct{}{}
	r.mutex.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.pump(near, far, process) }()
	go func() { defer both.Done(); r.pump(far, near, process) }()
	both.Wait()
	_ = near.Close()
	_ = far.Close()
	r.mutex.Lock()
	delete(r.open, near)
	delete(r.open, far)
	r.mutex.Unlock()
}

// pump relays one direction, and its end, when the connection is not cut.
func (r *relay) pump(from, to net.Conn, process int) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		for r.isCut(process) {
			time.Sleep(5 * time.Millisecond)
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.open {
		_ = conn.Close()
	}
}

// ownerOf returns the process among the given ones that holds the socket bound to an address of
// this machine, or 0. All daemons connect from one loopback address, so the address alone does not
// tell them apart.
func ownerOf(address *net.TCPAddr, processes []int) int {
	inode := inodeOf(address)
	if inode == "" {
		return 0
	}
	link := "socket:[" + inode + "]"
	for _, process := range processes {
		directory := fmt.Sprintf("/proc/%d/fd", process)
		entries, err := os.ReadDir(directory)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			if target, err := os.Readlink(directory + "/" + entry.Name()); err == nil && target == link {
				return process
			}
		}
	}
	return 0
}

// inodeOf returns the inode of the TCP socket whose local address is the given one.
func inodeOf(address *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	ip := address.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}
