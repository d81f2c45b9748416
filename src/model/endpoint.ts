/** The destination of a connection: the two parts of a `host:port` address. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Splits a `host:port` address at its last colon, since an IPv6 host contains colons. */
export function endpointOf(address: string): Endpoint {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
