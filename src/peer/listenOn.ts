/** Opens a listening TCP socket. */
import type { Server } from 'node:net';

/** Starts a server and resolves with its port; for port 0 the kernel chooses a free one. */
export function listenOn(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const address = server.address();
      resolve(typeof address === 'object' && address !== null ? address.port : port);
    });
  });
}
