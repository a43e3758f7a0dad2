#!/bin/sh
# Starts one proxy. The JVM takes the bounds of its memory only as flags, so they are worked out here from the
# configuration's limits.memory_mb: a quarter for the heap, a quarter for direct memory, of which the program's buffers
# take four fifths; the rest is for the JVM itself. The heap is touched at the start: what is used later does not grow.
memory=$(sed -n 's/.*"memory_mb"[[:space:]]*:[[:space:]]*\([0-9][0-9]*\).*/\1/p' "${NODE_CONFIG:?names no file}" | head -n 1)
quarter=$((${memory:-192} / 4))
exec java -XX:SharedArchiveFile=target/dappleseam.jsa -Xlog:disable -Xlog:all=error:stderr -XX:+UseSerialGC \
  -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xss256k "-Xms${quarter}m" "-Xmx${quarter}m" -XX:+AlwaysPreTouch \
  "-XX:MaxDirectMemorySize=${quarter}m" -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m \
  -cp target/dappleseam.jar dappleseam.proxy.Serve
