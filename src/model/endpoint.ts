/** Where a connection goes: the two parts of a `host:port` address. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Parts an address; what stands after its last colon is the port. */
export function endpointOf(address: string): Endpoint {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
