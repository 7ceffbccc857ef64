package io.cherryspool.mesh;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives heartbeats between nodes over TCP, in length-prefixed frames. Each node opens
 * one connection to each other node and sends only on the connections that it opened. A heartbeat
 * that can't be sent now is dropped, because the next one supersedes it. Used on the event loop,
 * except for {@link #bind}.
 */
public final class NettyMesh implements Mesh, Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(NettyMesh.class);
  private static final int MAX_FRAME_BYTES = 4096;

  /** The size of the length field that precedes each frame. */
  private static final int LENGTH_FIELD_BYTES = 4;

  private static final int CONNECT_TIMEOUT_MS = 1000;

  /**
   * The time without a frame after which an incoming connection is closed. It is longer than
   * several heartbeat intervals, so the sender no longer uses the connection by then.
   */
  private static final int READ_TIMEOUT_S = 30;

  /**
   * The maximum number of bytes that may wait in an outgoing connection that the receiver does not
   * read; a connection with more is closed.
   */
  private static final int MAX_UNSENT_BYTES = 16 * 1024;

  private final NettyEventLoop loop;
  private final List<Endpoint> peers;
  private final Consumer<PeerHeartbeat> receiver;
  private final Map<Endpoint, Channel> outbound = new HashMap<>();
  private Channel listener;
  private boolean isStopped;

  /**
   * Creates a mesh that does not listen yet.
   *
   * @param peers the addresses at which the other nodes receive heartbeats
   * @param receiver receives the heartbeats of other nodes, on the event loop
   */
  public NettyMesh(NettyEventLoop loop, List<Endpoint> peers, Consumer<PeerHeartbeat> receiver) {
    this.loop = loop;
    this.peers = peers;
    this.receiver = receiver;
  }

  /**
   * Binds the port and starts listening. Called once, from outside the event loop; blocks. Fails
   * with {@link java.net.BindException}, which Netty does not declare, if the port is in use.
   */
  public void bind(Endpoint endpoint) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop.group())
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_S))
                        .addLast(
                            new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                        .addLast(new InboundHandler());
                  }
                })
            .bind(new InetSocketAddress(endpoint.host(), endpoint.port()))
            .sync()
            .channel();
  }

  @Override
  public void start() {
    isStopped = false;
  }

  @Override
  public void stop() {
    isStopped = true;
    // Iterates over a copy, because closing a channel removes it from the map.
    List.copyOf(outbound.values()).forEach(Channel::close);
    outbound.clear();
    if (listener != null) {
      listener.close();
    }
  }

  @Override
  public void broadcast(PeerHeartbeat heartbeat) {
    if (isStopped) {
      return;
    }
    byte[] frame = PeerHeartbeatCodec.encode(heartbeat);
    for (Endpoint peer : peers) {
      Channel channel = outbound.get(peer);
      if (channel == null) {
        connect(peer);
      } else if (channel.isActive()) {
        send(channel, frame);
      }
    }
  }

  private static void send(Channel channel, byte[] frame) {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    if (unsent != null && unsent.totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
      channel.close();
    } else {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }

  private void connect(Endpoint peer) {
    Channel channel =
        new Bootstrap()
            .group(loop.group())
            .channelFactory(NioSocketChannel::new)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel created) {
                    created.pipeline().addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
                  }
                })
            .connect(new InetSocketAddress(peer.host(), peer.port()))
            .channel();
    outbound.put(peer, channel);
    channel.closeFuture().addListener(closed -> outbound.remove(peer, channel));
  }

  /** Handles one incoming connection from another node. */
  private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
      receiver.accept(PeerHeartbeatCodec.decode(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug(
          "mesh connection closed: peer={} cause={}",
          ctx.channel().remoteAddress(),
          cause.toString());
      ctx.close();
    }
  }
}
