package io.cherryspool.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP on the node's loop. Connections are bounded, so that sockets remain for the calls the
 * node makes itself, and a peer that sends nothing complete for a while is dropped.
 */
public final class NettyServer {
  private static final Logger LOG = LoggerFactory.getLogger(NettyServer.class);
  private static final int MAX_BODY = 64 * 1024;
  private static final Duration QUIET = Duration.ofSeconds(60);
  private static final byte[] BROKEN =
      "{\"error\":\"internal error\"}".getBytes(StandardCharsets.UTF_8);

  private final NettyLoop loop;
  private final Handler handler;
  private final int maxConnections;
  private int open;
  private Channel listener;

  public NettyServer(NettyLoop loop, Handler handler, int maxConnections) {
    this.loop = loop;
    this.handler = handler;
    this.maxConnections = maxConnections;
  }

  /** Binds, waiting for the outcome; called once, from outside the loop. */
  public void bind(Endpoint at) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 256)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec(4096, 8192, 8192))
                        .addLast(new HttpObjectAggregator(MAX_BODY))
                        .addLast(new Connection());
                  }
                })
            .bind(new InetSocketAddress(at.host(), at.port()))
            .sync()
            .channel();
  }

  /** The port bound, for a listener that asked for any. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  public int connections() {
    return open;
  }

  /** The routine of one connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private long lastNanos = System.nanoTime();
    private boolean counted;
    private boolean answering;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (open >= maxConnections) {
        ctx.close();
        return;
      }
      open++;
      counted = true;
      watch(ctx);
    }

    private void watch(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> {
                if (!ctx.channel().isActive()) {
                  return;
                }
                if (!answering && System.nanoTime() - lastNanos > QUIET.toNanos()) {
                  ctx.close();
                } else {
                  watch(ctx);
                }
              },
              QUIET.toMillis() / 4,
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (counted) {
        counted = false;
        open--;
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      lastNanos = System.nanoTime();
      if (message.decoderResult().isFailure()) {
        write(
            ctx,
            false,
            Reply.json(400, "{\"error\":\"malformed\"}".getBytes(StandardCharsets.UTF_8)));
        return;
      }
      boolean keep = HttpUtil.isKeepAlive(message);
      Request request =
          new Request(
              message.method().name(), message.uri(), ByteBufUtil.getBytes(message.content()));
      answering = true;
      handle(request)
          .whenComplete(
              (reply, failure) -> {
                answering = false;
                lastNanos = System.nanoTime();
                if (failure != null) {
                  LOG.error("answering {} {} failed", request.method(), request.path(), failure);
                }
                write(ctx, keep, failure == null ? reply : Reply.retry(503, BROKEN, 1));
              });
    }

    private CompletableFuture<Reply> handle(Request request) {
      try {
        return handler.handle(request);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void write(ChannelHandlerContext ctx, boolean keep, Reply reply) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(reply.status()),
              Unpooled.wrappedBuffer(reply.body()));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
      if (reply.retryAfterS() > 0) {
        response.headers().setInt(HttpHeaderNames.RETRY_AFTER, reply.retryAfterS());
      }
      if (!keep) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      var written = ctx.writeAndFlush(response);
      if (!keep) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection from {} dropped: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
