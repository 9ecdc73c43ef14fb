package org.bamboohatch.gateway.load;

import java.io.Closeable;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.UnresolvedAddressException;
import java.nio.channels.UnsupportedAddressTypeException;
import java.util.List;
import java.util.function.BiConsumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Datagram socket that is read when its owner asks. It is not registered with the event loop, which would wake up for
 * every datagram; with 30 gateways these wake-ups cost more than the requests. Arrived datagrams wait in the receive
 * buffer of the operating system. Not thread-safe, except for {@link #close()} and {@link #isOpen()}.
 */
final class ReportSocket implements Closeable {

    private static final Logger LOGGER = LogManager.getLogger(ReportSocket.class);

    private static final int MAX_DATAGRAM_BYTES = 65_535;

    /** Maximum number of datagrams read at once, so that a flood does not keep requests waiting. */
    private static final int MAX_READS = 256;

    /** Requested size of the receive buffer, in bytes; the operating system may grant less. */
    private static final int RECEIVE_BUFFER_BYTES = 512 * 1024;

    private final DatagramChannel channel;

    private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);

    /**
     * Opens a socket.
     *
     * @param local address to bind to
     * @throws IOException if the address cannot be bound
     */
    ReportSocket(InetSocketAddress local) throws IOException {
        channel = DatagramChannel.open(
                local.getAddress() instanceof Inet4Address
                        ? StandardProtocolFamily.INET
                        : StandardProtocolFamily.INET6);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.bind(local);
        } catch (IOException unusable) {
            channel.close();
            throw unusable;
        }
    }

    /**
     * Sends a datagram. It is lost if a receiver cannot be reached or the send buffer is full.
     *
     * @param datagram content of the datagram
     * @param receivers addresses of the receivers
     */
    void send(byte[] datagram, List<InetSocketAddress> receivers) {
        buffer.clear().put(datagram).flip();
        for (InetSocketAddress receiver : receivers) {
            try {
                channel.send(buffer.rewind(), receiver);
            } catch (IOException | UnresolvedAddressException | UnsupportedAddressTypeException undeliverable) {
                LOGGER.debug("load: report not delivered to {}: {}", receiver, undeliverable.toString());
            }
        }
    }

    /**
     * Reads the datagrams that have arrived, up to a maximum number.
     *
     * @param consumer receives the sender and the content of each
     * @return whether all that had arrived were read
     */
    boolean receive(BiConsumer<SocketAddress, byte[]> consumer) {
        try {
            for (int reads = 0; reads < MAX_READS; reads++) {
                buffer.clear();
                SocketAddress sender = channel.receive(buffer);
                if (sender == null) {
                    return true;
                }
                byte[] datagram = new byte[buffer.flip().remaining()];
                buffer.get(datagram);
                consumer.accept(sender, datagram);
            }
        } catch (ClosedChannelException closed) {
            // The exchange has been stopped.
        } catch (IOException failed) {
            LOGGER.debug("load: socket cannot be read: {}", failed.toString());
        }
        return false;
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
