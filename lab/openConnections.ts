/**
 * The connections that this process has opened, and silence on them: one end of a connection no longer
 * reads, and what it writes goes nowhere, without a close or a reset. So behaves a connection whose
 * state was lost by what lies between the two machines. New connections work.
 */
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Published by Node for each socket that connects. */
const CHANNEL = 'net.client.socket';

/** The connections that have been opened since, and still stand. */
export interface OpenConnections {
  /** Those that stand now and match go silent for good; returns how many. */
  silence(matches: (remotePort: number) => boolean): number;
  stop(): void;
}

export function trackOpenConnections(): OpenConnections {
  const sockets = new Set<Socket>();
  const note = (message: unknown) => {
    const { socket } = message as { socket: Socket };
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  };
  subscribe(CHANNEL, note);
  return {
    silence: (matches) => {
      const struck = [...sockets].filter(
        ({ remotePort }) => remotePort !== undefined && matches(remotePort),
      );
      for (const socket of struck) {
        sockets.delete(socket);
        silence(socket);
      }
      return struck.length;
    },
    stop: () => {
      unsubscribe(CHANNEL, note);
    },
  };
}

function silence(socket: Socket): void {
  socket.pause();
  socket.resume = () => socket;
  socket.write = (...args: unknown[]) => {
    // A write is done once the kernel has the bytes; what becomes of them shows later, or never.
    const done = args.at(-1);
    if (typeof done === 'function') {
      process.nextTick(done as () => void);
    }
    return true;
  };
}
