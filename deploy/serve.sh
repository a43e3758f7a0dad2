#!/bin/sh
# Starts one proxy. The JVM takes the bounds of its memory only as flags, so they are worked out here from the
# configuration's limits.memory_mb: a quarter for the heap at most, a quarter for direct memory at most; the rest is for the
# JVM itself. However low the limit, the program needs 16 MB of heap, and 12 MB of direct memory for 8 MB of buffers.
# The heap is touched at the start, so that use does not grow later.
# Two processes share the limit during an upgrade: of a half, less 42 MB for the JVM itself, the heap gets six tenths, but
# 16 MB at least; the buffers of both get what is left of the limit (BufferMemory).
# The two properties keep XNIO and its threads from setting up management beans that nobody reads: a tenth of the start.
# The shell reads the figure itself: operators may refuse a start that begins any other program on its way.
# dash reads a file with one system call a byte, bash by blocks: a configuration of 3,200 caches has half a megabyte.
if [ -z "${BASH_VERSION:-}" ] && [ -x /bin/bash ]; then
  exec /bin/bash "$0" "$@"
fi
memory=''
text=''
while [ -z "$memory" ] && { IFS= read -r line || [ -n "$line" ]; }; do
  text="$text$line "
  case $text in *'"memory_mb"'*)
    rest=${text#*'"memory_mb"'}
    rest=${rest#"${rest%%[![:space:]]*}"}
    rest=${rest#:}
    rest=${rest#"${rest%%[![:space:]]*}"}
    memory=${rest%%[!0-9]*};;
  *) text='';; # the key itself never stands on two lines
  esac
done < "${NODE_CONFIG:?names no file}"
quarter=$((${memory:-192} / 4))
heap=$(((${memory:-192} / 2 - 42) * 6 / 10))
if [ "$heap" -gt "$quarter" ]; then heap=$quarter; fi
if [ "$heap" -lt 16 ]; then heap=16; fi
direct=$quarter
if [ "$direct" -lt 12 ]; then direct=12; fi
exec java -XX:SharedArchiveFile=target/dappleseam.jsa -Xlog:disable -Xlog:all=error:stderr -XX:+UseSerialGC \
  -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xss256k "-Xms${heap}m" "-Xmx${heap}m" -XX:+AlwaysPreTouch \
  "-XX:MaxDirectMemorySize=${direct}m" -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m \
  -Djboss.threads.eqe.register-mbean=false -Djavax.management.builder.initial=none \
  -cp target/dappleseam.jar dappleseam.proxy.Serve "$@"
