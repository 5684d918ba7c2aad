"""How long a connection settles after an answer, before it may carry any request.

Neither RESP2 nor HTTP/1.1 names in an answer the request that it belongs to: what arrives is taken for the
answer to the request that was written last. A surplus answer, which a server sends some milliseconds after
the first, is recognized only while no request is open: then nothing is due, and the connection is closed.

The server sends a surplus answer only until another request reaches it on the connection. So the delay that
counts is the one between both answers; the round trip does not add to it. But the server's kernel may hold
back a small write until the first answer is acknowledged (Nagle's algorithm), and the receiver's kernel may
delay that by 40 ms (TCP_DELACK_MIN in Linux) and one tick of its timer, or until it sends the next request.
"""

SETTLING_TIME_S = 0.06
"""40 ms and a tick of 10 ms for the delayed acknowledgement, and 10 ms for the network and for scheduling."""
