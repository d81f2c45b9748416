/**
 * Ports for processes that are started a moment later. They are taken from below the range from which
 * the kernel gives ports to whoever asks for any: one of those, once it has been found free and let go,
 * may be somebody's outgoing connection before the process listens.
 */
import net from 'node:net';

/** Linux gives ports from 32,768 on by default (`ip_local_port_range`). */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/** Processes of a test run that are started one after the other begin this many ports apart. */
const PORTS_PER_PROCESS = 97;

let next = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT));

/** A port of the loopback address at which nothing listens; never the same one twice in a row. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = next;
    next = port < LAST_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) {
      return port;
    }
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
