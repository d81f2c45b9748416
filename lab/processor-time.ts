/** What a process has cost on Linux, from /proc (proc(5), "stat", "io" and "status"). */
import { readFileSync } from 'node:fs';

/** Clock ticks in a second; 100 on every Linux that Node.js supports. */
const TICKS_PER_SECOND = 100;

/** Positions of user and system time after the command's closing bracket. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

/** Seconds of processor time that the process has used. */
export function cpuSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME])) / TICKS_PER_SECOND;
}

/** What a process has asked of the kernel so far. */
export interface KernelCalls {
  /** Calls that read or wrote something, such as readv and writev. */
  readonly transfers: number;
  /** Times that it gave the processor up and was woken: each poll that waits is one. */
  readonly wakeUps: number;
}

export function kernelCalls(pid: number): KernelCalls {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    transfers: fieldOf(io, 'syscr') + fieldOf(io, 'syscw'),
    wakeUps: fieldOf(status, 'voluntary_ctxt_switches'),
  };
}

function fieldOf(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s*(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}
